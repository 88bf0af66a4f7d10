const windowSequences = 4_096;

interface Sender {
  incarnation: number;
  highest: number;
  seen: Set<number>;
}

/** Detects replays: remembers the sequence numbers that were received from each sender. */
export class ReplayWindow {
  private readonly sendersByName = new Map<string, Sender>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates a window without senders. */
  static create(): ReplayWindow {
    return new ReplayWindow();
  }

  /**
   * Records a message and checks whether it is new.
   * @param name - Sender of the message.
   * @param incarnation - Start of the sender, in milliseconds since the epoch.
   * @param sequence - Number of the message within the incarnation.
   */
  add(name: string, incarnation: number, sequence: number): boolean {
    const sender = this.getSender(name, incarnation);
    const isOld = sequence <= sender.highest - windowSequences;
    if (incarnation < sender.incarnation || isOld || sender.seen.has(sequence)) {
      return false;
    }
    sender.seen.add(sequence);
    sender.highest = Math.max(sender.highest, sequence);
    this.deleteOldSequences(sender);
    return true;
  }

  private getSender(name: string, incarnation: number): Sender {
    const known = this.sendersByName.get(name);
    if (known !== undefined && incarnation <= known.incarnation) {
      return known;
    }
    const sender = { incarnation, highest: 0, seen: new Set<number>() };
    this.sendersByName.set(name, sender);
    return sender;
  }

  private deleteOldSequences(sender: Sender): void {
    if (sender.seen.size <= 2 * windowSequences) {
      return;
    }
    const oldest = sender.highest - windowSequences;
    sender.seen = new Set([...sender.seen].filter((sequence) => sequence > oldest));
  }
}
