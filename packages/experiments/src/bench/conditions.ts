/** Delays and losses between the processes of a run. */
export interface NetworkConditions {
  /** How long a daemon takes to learn of a change of an engine or a daemon, at most. */
  readonly viewDelayMilliseconds: number;
  /** Age of the engines' load reports. */
  readonly reportDelayMilliseconds: number;
  /** Delay of a datagram beyond the distance, at most. */
  readonly extraDelayMilliseconds: number;
  /** Share of datagrams that are lost. */
  readonly lossShare: number;
}
