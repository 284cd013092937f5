# The fleet's peak at few members, with many starts in a row.
name ledger-starts-peak-replicas
host hollow-ledgers
seed 1
length 20s
warm-up 20s
schedulers 10
replicas 2
regions 5
zones 10
teams 10
running 4900
vary starts 30 100 300 1000 3000
hold-out 4900
