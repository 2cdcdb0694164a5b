"""Plan of the order in which named versions of weights are downloaded."""
