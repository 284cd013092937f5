# A dozen schedulers in processes of their own, with more and more workers.
name real-workers
host real-planners
seed 1
warm-up 12s
length 20s
schedulers 12
running 300
starts 50
round-trip zone 0.1ms
round-trip region 0.1ms
round-trip between-regions 0.1ms
vary workers 30 100 300
hold-out 1000
