# The same under work, of which every member learns.
name ledger-schedulers-load-replicas
host hollow-ledgers
seed 1
length 5s
warm-up 5s
regions 5
zones 15
teams 2
running 300
starts 10
changes 1
vary schedulers 2 6 20 60
replicas 2
hold-out 70
