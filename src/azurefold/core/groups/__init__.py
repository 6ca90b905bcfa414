"""Changes of the expert map of a group of ranks.

The ranks of a group run each forward pass of a model together. The expert map says
which experts each rank holds. All ranks must use the same map in the same pass, so a
new map takes effect at one pass, after every rank has loaded its weights.

There are two protocols for this, each with its own election of the process that
controls the change:

- Ranks with a local agent: :mod:`.coordinator` exchanges :mod:`.messages` with the
  :mod:`.agent` of each rank. The coordinator holds the :mod:`.lease` of the group. If
  it fails, the agents end the change by themselves, see :mod:`.termination`.
- Ranks without an agent: :mod:`.map_change` sends the orders in :mod:`.map_orders` to
  the ranks themselves. The sender is the node that won the election in
  :mod:`.leadership`. If it fails, its successor continues, see :mod:`.resumed_change`.
"""
