/** Exit codes of every command; the highest that applies is returned. */
export const exitCodes = {
  /** The command succeeded and found no problem. */
  ok: 0,
  /** A check, status or comparison has findings, or no engine is available for the chat. */
  findings: 1,
  /** The arguments are invalid, or a file cannot be read or written. */
  usage: 2,
  /** A daemon did not respond or its response is invalid; those of the others are still shown. */
  unreachable: 3,
  /** Internal error of the command line. */
  internal: 4,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
