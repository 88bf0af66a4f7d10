interface QueuedEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Discrete event queue: runs events in order of time, and those of equal time in insertion order. */
export class EventQueue {
  private readonly heap: QueuedEvent[] = [];
  private nextSequence = 0;
  private currentTime = 0;

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty queue whose time is 0. */
  static create(): EventQueue {
    return new EventQueue();
  }

  /** Gets the simulated time, in milliseconds. */
  getNow(): number {
    return this.currentTime;
  }

  /**
   * Adds an event.
   * @param at - Simulated time of the event, in milliseconds.
   * @param run - Called when the event is due.
   */
  addEvent(at: number, run: () => void): void {
    const event = { at, sequence: this.nextSequence, run };
    this.nextSequence += 1;
    this.heap.push(event);
    this.siftUp(this.heap.length - 1);
  }

  /**
   * Runs all events before a time.
   * @param end - Simulated time to stop at, in milliseconds.
   * @param afterEach - Called after each event.
   */
  runUntil(end: number, afterEach: () => void): void {
    for (let event = this.heap[0]; event !== undefined && event.at < end; event = this.heap[0]) {
      this.removeFirst();
      this.currentTime = event.at;
      event.run();
      afterEach();
    }
    this.currentTime = end;
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last !== undefined && this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown(0);
    }
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) {
        return;
      }
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        least = child < this.heap.length && this.isBefore(child, least) ? child : least;
      }
      if (least === index) {
        return;
      }
      this.swap(index, least);
      index = least;
    }
  }

  private isBefore(left: number, right: number): boolean {
    const a = this.heap[left] as QueuedEvent;
    const b = this.heap[right] as QueuedEvent;
    return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
  }

  private swap(left: number, right: number): void {
    const event = this.heap[left] as QueuedEvent;
    this.heap[left] = this.heap[right] as QueuedEvent;
    this.heap[right] = event;
  }
}
