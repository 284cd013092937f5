# Fixed counts for CI: bytes and messages of a member are the same on every machine.
name ci-small
host hollow-ledgers
seed 1
length 20s
warm-up 10s
schedulers 15
regions 5
zones 15
teams 10
running 300
starts 20
changes 0.5
