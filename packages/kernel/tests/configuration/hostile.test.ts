import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { maxConfigurationBytes, parseConfiguration } from "@pistachioway/kernel";
import { sampleText } from "./sample.js";

const seed = 20_261_203;
const token = "my-plain-token";

/** Gets the first finding of a text that is expected to be refused. */
function getFirstFinding(text: string): string {
  const result = parseConfiguration(text);
  assert.ok(result.isErr);
  const finding = result.error.findings[0];
  return `${finding?.kind ?? ""}: ${finding?.message ?? ""}`;
}

/** The sample with a random part replaced by a random text. */
const damagedText = fc
  .tuple(fc.nat(sampleText.length), fc.nat(40), fc.string({ unit: "binary" }))
  .map(
    ([start, length, text]) => sampleText.slice(0, start) + text + sampleText.slice(start + length),
  );

const test = suite("parseConfiguration with hostile texts");

test("parses every damaged text to a configuration or findings, the same each time", () => {
  const property = fc.property(damagedText, (text) => {
    const results = [parseConfiguration(text), parseConfiguration(text)];
    const [first, second] = results.map((result) =>
      result.isOk ? result.value : result.error.findings,
    );
    assert.equal(first, second);
    assert.ok(!Array.isArray(first) || first.length > 0);
  });
  fc.assert(property, { seed, numRuns: 300 });
});

test("never shows the value of a token hash, which may be a plain token", () => {
  const text = sampleText.replace(/tokenSha256 = ".*"/, `tokenSha256 = "${token}"`);
  const result = parseConfiguration(`${text}[[teams]]\nname = "x"\ntokenSha256 = "${token}"\n`);
  assert.ok(result.isErr);
  assert.is(result.error.findings.length, 3);
  assert.not.match(JSON.stringify(result.error.findings) + result.error.message, token);
});

test("refuses keys and values that TOML or JavaScript treat specially", () => {
  assert.equal(
    [
      "__proto__.x = 1\n",
      "generation = 99999999999999999999\n",
      "generation = nan\n",
      "generation = 1979-05-27\n",
      `a = ${"[".repeat(maxConfigurationBytes / 2)}\n`,
      "\u0000\n",
      "",
    ].map(getFirstFinding),
    [
      "syntax: Invalid TOML document: document contains an unsafe property",
      "syntax: Invalid TOML document: integer value cannot be represented losslessly",
      "shape: is missing",
      "shape: is missing",
      "syntax: Invalid TOML document: document contains excessively nested structures. aborting.",
      "syntax: Invalid TOML document: illegal character in key",
      "shape: is missing",
    ],
  );
});

test("lists every error of a text with very many", () => {
  const result = parseConfiguration(sampleText + "[[zones]]\n".repeat(10_000));
  assert.ok(result.isErr);
  assert.is(result.error.findings.length, 20_000);
});

test("refuses too many items before it validates each", () => {
  assert.is(getFirstFinding("[[teams]]\n".repeat(20_001)), "size: has too many items");
  assert.is(getFirstFinding("[[teams]]\n".repeat(20_000)), "shape: is missing");
});

test.run();
