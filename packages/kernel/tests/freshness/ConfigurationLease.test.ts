import { ConfigurationLease } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("ConfigurationLease");

const start = { monotonic: 1_000, wall: 5_000 };
const after = (monotonic: number, wall = monotonic) => ({
  monotonic: start.monotonic + monotonic,
  wall: start.wall + wall,
});

test("is infinitely old before the first renewal", () => {
  assert.is(ConfigurationLease.create().getAgeMilliseconds(start), Infinity);
});

test("counts from when the request was sent", () => {
  const lease = ConfigurationLease.create();
  lease.renew(start, after(300));
  assert.is(lease.getAgeMilliseconds(after(900)), 900);
});

test("ages during a suspension, in which the monotonic clock stops", () => {
  const lease = ConfigurationLease.create();
  lease.renew(start, after(10));
  assert.is(lease.getAgeMilliseconds(after(20, 6_000)), 6_000);
});

test("does not look newer when the time of day steps back", () => {
  const lease = ConfigurationLease.create();
  lease.renew(start, after(10));
  assert.is(lease.getAgeMilliseconds(after(4_000, -2_000)), 4_000);
});

test("keeps the newest renewal, and adds the age that a peer reports", () => {
  const lease = ConfigurationLease.create();
  lease.renew(after(1_000), after(1_010));
  lease.renew(start, after(1_020));
  lease.renew(after(1_500), after(1_510), 1_200);
  assert.is(lease.getAgeMilliseconds(after(2_000)), 1_000);
});

test.run();
