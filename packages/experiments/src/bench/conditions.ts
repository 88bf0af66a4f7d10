/** Delays and packet loss between the processes of a run. */
export interface NetworkConditions {
  /** Longest time until a daemon learns of a change of an engine or a daemon. */
  readonly viewDelayMilliseconds: number;
  /** Delay of the engines' load reports. */
  readonly reportDelayMilliseconds: number;
  /** Largest delay of a datagram in addition to the delay between the zones. */
  readonly extraDelayMilliseconds: number;
  /** Fraction of the datagrams that are lost. */
  readonly lossShare: number;
}
