/** Exit codes of every command; the highest that applies is returned. */
export const exitCodes = {
  /** Everything asked for was done and nothing was found wrong. */
  ok: 0,
  /** A file or a published configuration was refused, or there is no engine to choose. */
  findings: 1,
  /** The command was called wrongly, or a file cannot be read or written. */
  usage: 2,
  /** A daemon did not answer; what the others answered is still shown. */
  unreachable: 3,
  /** The command line itself failed. */
  internal: 4,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
