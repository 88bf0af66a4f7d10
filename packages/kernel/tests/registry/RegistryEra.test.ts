import { RegistryEra } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("RegistryEra");

test("compares eras with the newest one known", () => {
  const era = RegistryEra.create();
  const comparisons = [undefined, 3, 3, 4, 3, undefined, 6].map((each) => era.observe(each, 0));
  assert.equal(comparisons, ["same", "same", "same", "newer", "older", "same", "newer"]);
  assert.is(era.getEra(), 6);
});

test("confirms at any time while the registry was not restored, also a lower version", () => {
  const era = RegistryEra.create();
  era.observe(1, 0);
  era.recordListedVersion(2, false);
  assert.ok(era.canConfirm(9, 0));
});

test("confirms nothing for 2 s after a restoration, unless the configuration is written again", () => {
  const era = RegistryEra.create();
  era.observe(1, 0);
  era.observe(2, 1_000);
  era.recordListedVersion(5, false);
  assert.equal([era.canConfirm(5, 2_999), era.canConfirm(5, 3_000)], [false, true]);
  era.observe(3, 10_000);
  era.recordListedVersion(6, true);
  assert.ok(era.canConfirm(6, 10_001));
});

test("a restored registry that lists a lower version confirms nothing until it is written again", () => {
  const era = RegistryEra.create();
  era.observe(1, 0);
  era.observe(2, 0);
  assert.not(era.canConfirm(1, 60_000));
  era.recordListedVersion(4, false);
  assert.equal([era.canConfirm(4, 60_000), era.canConfirm(5, 60_000)], [true, false]);
  era.recordListedVersion(5, true);
  assert.ok(era.canConfirm(5, 60_000));
});

test.run();
