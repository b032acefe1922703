"""The door for operators: its entry is ``door.Door``; ``calls`` says what each call is answered."""
