/** The virtual time of a queue: the highest that was served. */
export interface VirtualClock {
  virtualTime: number;
}

/** Something that shares a queue, with the cost that was served to it divided by its share. */
export interface VirtualAccount {
  virtualTime: number;
}

/**
 * Raises the virtual time of an account that becomes active, so that it gains nothing from having been idle.
 * @param clock - Virtual time of the queue.
 * @param account - Account that becomes active.
 */
export function startAccount(clock: VirtualClock, account: VirtualAccount): void {
  account.virtualTime = Math.max(account.virtualTime, clock.virtualTime);
}

/**
 * Charges an account with the cost of what was served to it.
 * @param clock - Virtual time of the queue.
 * @param account - Account that was served.
 * @param cost - Cost of what was served.
 * @param share - Share of the account relative to the others.
 */
export function chargeAccount(
  clock: VirtualClock,
  account: VirtualAccount,
  cost: number,
  share: number,
): void {
  clock.virtualTime = Math.max(clock.virtualTime, account.virtualTime);
  account.virtualTime += cost / share;
}
