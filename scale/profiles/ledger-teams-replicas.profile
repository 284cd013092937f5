# Teams under caps, of which each has tasks that run.
name ledger-teams-replicas
host hollow-ledgers
seed 1
length 20s
warm-up 10s
schedulers 10
replicas 2
regions 5
zones 10
running 4500
starts 10
vary teams 10 30 100 300
hold-out 450
