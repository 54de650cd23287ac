// Loaded before the program: until a process has a handler for SIGHUP, the signal
// ends it, and parsing the program takes most of the time of its start.
process.on("SIGHUP", () => undefined);
