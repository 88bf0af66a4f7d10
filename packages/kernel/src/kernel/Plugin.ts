/** A point in time, in milliseconds since the Unix epoch. */
export type Instant = number;

/** The outcome of handling one message: the next state and the effects to carry out. */
export interface Step<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/**
 * A pure state machine that registers itself with the plug-in registry.
 *
 * A plug-in performs no I/O and reads no clock or random source: time and seeds are passed in.
 * It owns its state and may update it in place; no other code changes the state.
 */
export interface Plugin<State, Message, Effect> {
  /** Unique name; also the key of the plug-in's state in the kernel. */
  readonly name: string;

  /**
   * Creates the initial state.
   * @param seed - Seed for every pseudo-random choice of the plug-in.
   */
  createState(seed: number): State;

  /**
   * Handles one message.
   * @param state - Current state.
   * @param message - Message to handle.
   * @param now - Time of the message.
   */
  handle(state: State, message: Message, now: Instant): Step<State, Effect>;
}
