"""What operators declare: its file format and the state it adds up to."""
