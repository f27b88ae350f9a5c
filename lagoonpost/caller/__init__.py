"""Client library: discovers entries, retries calls and resumes streams."""
