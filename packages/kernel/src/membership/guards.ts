/** A check that the fault matrix can switch off, to show that its tests detect the failure. */
export type HostGuard =
  /** After a pause a host is unchecked until there is new evidence about it. */
  | "host-pause-check"
  /** A host that reports that it is leaving gets no new work from then on. */
  | "host-own-sign"
  /** Health reports are sent to the peers. */
  | "host-sign-spread"
  /** Host lists that are older or empty are ignored. */
  | "host-list-order";
