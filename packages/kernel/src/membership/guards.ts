/** A check that the fault matrix can switch off, to show that a cell can fail. */
export type HostGuard =
  /** After a pause nothing is trusted until it was checked. */
  | "host-pause-check"
  /** A host's own sign that it leaves counts at once. */
  | "host-own-sign"
  /** Signs are spread to the peers. */
  | "host-sign-spread"
  /** An older or empty list changes nothing. */
  | "host-list-order";
