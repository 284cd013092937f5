# Starts, up to as many at each member as 350 members have at the fleet's peak: 14 a second. Beyond that rows
# hold more and more of them, as a member writes ten rows a second at the most.
name ledger-starts-replicas
host hollow-ledgers
seed 1
length 15s
warm-up 15s
schedulers 30
replicas 2
regions 5
zones 15
teams 2
running 900
vary starts 10 30 100 300
hold-out 420
