import type { Direction, Rule } from "./schema.js";

/** Finds the byte of one connection at which a rule fires. */
export class Trigger {
  private seenTail = "";
  private isArmed: boolean;
  private remainingBytes: number;

  private constructor(readonly rule: Rule) {
    this.isArmed = rule.text === "";
    this.remainingBytes = rule.bytes;
  }

  /**
   * Creates a trigger for one connection.
   * @param rule - Rule that fires.
   */
  static create(rule: Rule): Trigger {
    return new Trigger(rule);
  }

  /**
   * Scans bytes that are about to be forwarded.
   * @param direction - Direction of the bytes.
   * @param bytes - Bytes to scan.
   * @returns The number of these bytes to forward before the rule fires, or `undefined` when it
   * does not fire in them.
   */
  getFirePosition(direction: Direction, bytes: Buffer): number | undefined {
    const start = this.arm(direction, bytes);
    if (!this.isArmed || direction !== this.rule.direction) {
      return undefined;
    }
    const available = bytes.length - start;
    if (available >= this.remainingBytes && bytes.length > 0) {
      return start + this.remainingBytes;
    }
    this.remainingBytes -= available;
    return undefined;
  }

  /** Arms the trigger when the text is found; returns the offset at which counting starts. */
  private arm(direction: Direction, bytes: Buffer): number {
    if (this.isArmed || direction !== "request") {
      return 0;
    }
    const text = this.seenTail + bytes.toString("latin1");
    const index = text.indexOf(this.rule.text);
    if (index === -1) {
      this.seenTail = text.slice(Math.max(0, text.length - this.rule.text.length + 1));
      return 0;
    }
    this.isArmed = true;
    return Math.max(0, index - this.seenTail.length);
  }
}
