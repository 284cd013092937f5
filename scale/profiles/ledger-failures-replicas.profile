# Members that die with what was not on disk, and are back ten seconds later.
name ledger-failures-replicas
host hollow-ledgers
seed 1
length 120s
warm-up 20s
schedulers 20
replicas 2
regions 5
zones 15
teams 5
running 300
starts 5
vary failures 1 3 10 30
hold-out 40
