"""The relay in service: messages in, calls to endpoints out, nothing lost or done twice."""
