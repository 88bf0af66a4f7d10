/** What one daemon of a fleet may use of the limits that upstreams name on the requests of all daemons. */
export interface LimitShare {
  /** Part of each limit, from 0 to 1; 0 while the daemon cannot know it. */
  readonly part: number;
  /** Place of the daemon among the live ones, in [0, 1). Their places are evenly spaced, as are the slots that follow. */
  readonly position: number;
}
