/** Exit codes of the command line. */

/** What the exit code of a command says. */
export const exitCodes = {
  done: 0,
  /** The call was refused, nothing was changed. */
  refused: 1,
  /** The settings or the arguments are wrong. */
  usage: 2,
  /** Nobody answered, or the outcome is unknown. */
  unreachable: 3,
  /** The process could not start. */
  failed: 4,
} as const;
