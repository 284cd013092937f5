# A region that is cut off for an hour, with work and changes on both sides, and back.
name ledger-cut-replicas
host hollow-ledgers
seed 1
length 3720s
warm-up 20s
schedulers 10
replicas 2
regions 5
zones 10
teams 5
running 100
starts 1
changes 0.05
cut 2 from 60s for 3600s
