/** Exit codes of the process of a daemon; 0 is a stop that ended no request before its time. */
export const exitCodes = {
  /** No valid settings, or wrong arguments. */
  settings: 2,
  /** A second signal ended a planned stop. */
  forced: 3,
  /** A planned stop ended requests before their time. */
  cutOff: 4,
  /** A needed listener could not listen. */
  start: 5,
  /** A task of the process did not go on. */
  task: 6,
} as const;
