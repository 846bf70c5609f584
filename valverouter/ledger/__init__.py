"""What an edge proxy keeps on disk of the dialogs that it owes answers to."""
