import type { Direction, Rule } from "./schema.js";

/** Watches one connection for the byte at which a rule fires. */
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
   * @param rule - Rule to watch for.
   */
  static create(rule: Rule): Trigger {
    return new Trigger(rule);
  }

  /**
   * Looks at bytes that are about to pass.
   * @param direction - Direction of the bytes.
   * @param bytes - Bytes to look at.
   * @returns The number of bytes that still pass when the rule fires in them, else `undefined`.
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

  /** Arms the trigger when the text is found; returns where counting starts in these bytes. */
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
