"""Small models of the protocols whose agreement carries the promises."""
