/** Longest time from the start of a stream until its caller takes it up for the last time. */
export const streamLifetimeMilliseconds = 30_000;
/** Age of the registry's list up to which it is known which versions serve. */
export const freshListMilliseconds = 3_000;
/** Time by which daemons may see a version at different moments. */
export const maxViewLagMilliseconds = 3_000;
/** Daemons that keep the version of a stream, beside the one that began it. */
export const keeperCount = 3;
/** Bound on the streams that a daemon remembers. */
export const maxStreams = 16_384;
