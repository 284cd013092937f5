# All start within a tenth of a second, and nobody has anything on disk.
name ledger-start-together-replicas
host hollow-ledgers
seed 1
length 1s
warm-up 5s
regions 5
zones 15
teams 2
vary schedulers 3 10 30 90
replicas 2
hold-out 130
