/** Longest time from the start of a stream until its caller takes it up for the last time. */
export const streamLifetimeMilliseconds = 30_000;
/** Age of the registry's list up to which it is known which versions serve. */
export const freshListMilliseconds = 3_000;
/** Daemons that are told the version of a stream, beside the one that began it. */
export const toldKeeperCount = 5;
/** Daemons that are asked for it: the first of those told that are left, as far as views agree. */
export const askedKeeperCount = 3;
/** Bound on the streams that a daemon remembers. */
export const maxStreams = 16_384;
