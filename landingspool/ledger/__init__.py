"""The log and live list of the product's own interface: clients, followers."""
