# Changes of configuration, over the round trips of five regions.
name ledger-changes
host hollow-ledgers
seed 1
length 100s
warm-up 30s
schedulers 20
regions 5
zones 15
teams 10
vary changes 0.1 0.3 1 3
hold-out 5
