# What a scheduler spends on workers that it only knows: little runs, and little starts.
name planner-workers
host hollow-planners
seed 1
warm-up 12s
length 30s
schedulers 5
regions 5
zones 15
running 300
starts 10
vary workers 30 100 300 1000 3000
hold-out 10000
