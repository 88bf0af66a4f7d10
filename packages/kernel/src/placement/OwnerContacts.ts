import type { Instant } from "../kernel/Plugin.js";

interface Contact {
  /** Smoothed round trip and its mean deviation. */
  roundTripMilliseconds: number;
  deviationMilliseconds: number;
  /** Until when the owner is not asked, after it let a deadline pass. */
  silentUntil: Instant;
}

const minTimeoutMilliseconds = 20;
const maxTimeoutMilliseconds = 200;
const silentMilliseconds = 1000;
const roundTripShare = 1 / 8;
const deviationShare = 1 / 4;
const deviationFactor = 4;

/** Tells how long to wait for each owner's answer, by the round trips seen. */
export class OwnerContacts {
  private readonly contactsByOwner = new Map<string, Contact>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates contacts without any round trip. */
  static create(): OwnerContacts {
    return new OwnerContacts();
  }

  /**
   * Gets the instant until which an answer is awaited.
   * @param owner - Owner that is asked.
   * @param now - Current time.
   */
  getDeadline(owner: string, now: Instant): Instant {
    const { roundTripMilliseconds, deviationMilliseconds } = this.getContact(owner);
    const timeout = roundTripMilliseconds + deviationFactor * deviationMilliseconds;
    return now + Math.min(maxTimeoutMilliseconds, Math.max(minTimeoutMilliseconds, timeout));
  }

  /**
   * Gets whether an owner let a deadline pass and was not heard since.
   * @param owner - The owner.
   * @param now - Current time.
   */
  isSilent(owner: string, now: Instant): boolean {
    return now < (this.contactsByOwner.get(owner)?.silentUntil ?? 0);
  }

  /**
   * Takes over the round trip of an answer.
   * @param owner - Owner that answered.
   * @param milliseconds - Time from the question to the answer.
   */
  addRoundTrip(owner: string, milliseconds: number): void {
    const contact = this.getContact(owner);
    const difference = milliseconds - contact.roundTripMilliseconds;
    contact.roundTripMilliseconds += difference * roundTripShare;
    contact.deviationMilliseconds +=
      (Math.abs(difference) - contact.deviationMilliseconds) * deviationShare;
  }

  /**
   * Notes that an owner let a deadline pass; the next deadline is later.
   * @param owner - The owner.
   */
  addTimeout(owner: string): void {
    const contact = this.getContact(owner);
    contact.deviationMilliseconds = Math.min(
      maxTimeoutMilliseconds / deviationFactor,
      Math.max(contact.deviationMilliseconds, minTimeoutMilliseconds / deviationFactor) * 2,
    );
  }

  /**
   * Notes that an owner is not to be asked for a while.
   * @param owner - The owner.
   * @param now - Current time.
   */
  setSilent(owner: string, now: Instant): void {
    this.getContact(owner).silentUntil = now + silentMilliseconds;
  }

  /**
   * Notes that an owner was heard.
   * @param owner - The owner.
   */
  setHeard(owner: string): void {
    const contact = this.contactsByOwner.get(owner);
    if (contact !== undefined) {
      contact.silentUntil = 0;
    }
  }

  /**
   * Forgets an owner.
   * @param owner - The owner.
   */
  removeOwner(owner: string): void {
    this.contactsByOwner.delete(owner);
  }

  private getContact(owner: string): Contact {
    const known = this.contactsByOwner.get(owner);
    if (known !== undefined) {
      return known;
    }
    const contact = { roundTripMilliseconds: 0, deviationMilliseconds: 0, silentUntil: 0 };
    this.contactsByOwner.set(owner, contact);
    return contact;
  }
}
