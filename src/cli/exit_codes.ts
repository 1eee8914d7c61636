/** Exit codes of the command line. */

/** Exit codes by the outcome of a command. */
export const exitCodes = {
  done: 0,
  /** The call was refused and nothing was changed. */
  refused: 1,
  /** The settings or the arguments are invalid. */
  usage: 2,
  /** No process responded, or the outcome is unknown. */
  unreachable: 3,
  /** The process could not start. */
  failed: 4,
} as const;
