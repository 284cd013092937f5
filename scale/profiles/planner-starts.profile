# What a scheduler spends on starts. A task runs for 2 s at the greatest pace and for 300 s at the least.
name planner-starts
host hollow-planners
seed 1
warm-up 16s
length 30s
schedulers 12
workers 1000
regions 5
zones 15
running 10000
vary starts 30 100 300 1000
hold-out 4900
