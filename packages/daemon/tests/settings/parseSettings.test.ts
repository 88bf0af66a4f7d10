import { parseSettings } from "@pistachioway/daemon";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const key = "k".repeat(32);
const valid = `[process]
name = "entry-1"
zone = "north"
[listeners]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
datagrams = "127.0.0.1:0"
operations = "127.0.0.1:0"
[platform]
address = "127.0.0.1:1"
[peers]
key = "${key}"
`;

function getMessage(text: string): string {
  const settings = parseSettings(text, "s.toml");
  return settings.isErr ? settings.error.message : "accepted";
}

const test = suite("parseSettings");

test("accepts a file with only the required keys and sets defaults", () => {
  const settings = parseSettings(valid, "s.toml").unwrapOrElse((error) => {
    throw error;
  });
  assert.equal(settings.limits, {
    bodyBytes: 1_048_576,
    requestMilliseconds: 120_000,
    drainMilliseconds: 600_000,
    unreadyMilliseconds: 2_000,
  });
});

test("lists every issue with its line, its value and what is allowed", () => {
  const broken = valid
    .replace('callers = "127.0.0.1:0"', 'callers = "here"')
    .replace('zone = "north"', "zone = 3");
  assert.is(
    getMessage(broken),
    's.toml:3: setting "process.zone" is 3: Invalid input: expected string, received number\n' +
      's.toml:5: setting "listeners.callers" is "here": must be an IPv4 address and a port',
  );
});

test("never shows the key between peers", () => {
  const message = getMessage(valid.replace(key, "too-short"));
  assert.match(message, 'setting "peers.key" is "(hidden)"');
  assert.not.match(message, "too-short");
});

test("reports the line at which a file is truncated", () => {
  assert.match(getMessage(valid.slice(0, valid.indexOf('"north"') + 3)), /^s\.toml:3: /);
});

test.run();
