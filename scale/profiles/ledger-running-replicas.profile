# Tasks that run on: nothing starts, all cost.
name ledger-running-replicas
host hollow-ledgers
seed 1
length 30s
warm-up 30s
schedulers 10
replicas 2
regions 5
zones 10
teams 10
vary running 300 1000 3000 10000 30000
hold-out 39000
