# Fixed counts for CI, with replica sets: bytes and messages of a member are the same on every machine.
name ci-small-replicas
host hollow-ledgers
seed 1
length 20s
warm-up 10s
schedulers 15
replicas 2
regions 5
zones 15
teams 10
running 300
starts 20
changes 0.5
