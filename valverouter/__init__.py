"""Edge controller that sets dialogs up at shared signalling servers."""
