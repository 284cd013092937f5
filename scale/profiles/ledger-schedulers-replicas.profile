# What members cost each other without work: signs of life, digests, looks at quotas, a change now and then.
name ledger-schedulers-replicas
host hollow-ledgers
seed 1
length 30s
warm-up 30s        # connections of the catching up end after ten seconds without use
regions 5
zones 15
teams 2
changes 0.2
vary schedulers 3 10 30 90
replicas 2
hold-out 130
