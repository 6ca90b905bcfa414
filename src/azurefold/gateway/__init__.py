"""The entry in front of endpoints that have no agent, beside a store with feeds."""
