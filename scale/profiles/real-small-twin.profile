# A dozen schedulers in processes of their own. Loopback has its own round trips; in virtual time these are played.
name real-small-twin
host hollow-planners
seed 1
warm-up 12s
length 30s
schedulers 12
workers 100
running 300
starts 50
round-trip zone 0.1ms
round-trip region 0.1ms
round-trip between-regions 0.1ms
