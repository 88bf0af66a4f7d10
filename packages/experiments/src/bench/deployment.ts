/** Size, zone delay and workload of one deployment. */
export interface Deployment {
  readonly name: string;
  readonly zones: readonly string[];
  readonly engineCount: number;
  readonly daemonCount: number;
  readonly teamCount: number;
  /** One-way delay between two zones. */
  readonly zoneDelayMilliseconds: number;
  /** New chats per second, without a surge. */
  readonly chatsPerSecond: number;
  /** Fraction of the chats that are long briefings. */
  readonly briefingShare: number;
  /** Fraction of the chats that are quick lookups; the rest are batches. */
  readonly lookupShare: number;
  /** Factor by which the durations of all kinds of chats are multiplied. */
  readonly durationFactor: number;
  readonly measuredSeconds: number;
}

/** Callaloo: long briefings make up most of the load. */
export const callaloo: Deployment = {
  name: "callaloo",
  zones: ["a", "b", "c", "d"],
  engineCount: 13,
  daemonCount: 5,
  teamCount: 10,
  zoneDelayMilliseconds: 0.5,
  chatsPerSecond: 14,
  briefingShare: 0.4,
  lookupShare: 0.5,
  durationFactor: 1,
  measuredSeconds: 120,
};

/** Ballycorrig: diary updates and summaries in shorter chats. */
export const ballycorrig: Deployment = {
  name: "ballycorrig",
  zones: ["a", "b", "c"],
  engineCount: 13,
  daemonCount: 5,
  teamCount: 10,
  zoneDelayMilliseconds: 1.5,
  chatsPerSecond: 17,
  briefingShare: 0.3,
  lookupShare: 0.6,
  durationFactor: 1,
  measuredSeconds: 120,
};

/** One zone at the largest size that the fleet is designed for. */
export const scale: Deployment = {
  name: "scale",
  zones: ["a"],
  engineCount: 310,
  daemonCount: 35,
  teamCount: 900,
  zoneDelayMilliseconds: 0.5,
  chatsPerSecond: 190,
  briefingShare: 0.4,
  lookupShare: 0.5,
  durationFactor: 1.4,
  measuredSeconds: 60,
};

/** The deployments that are measured by default. */
export const deployments: readonly Deployment[] = [callaloo, ballycorrig];
