import { formatReport } from "../types/diagnostics.ts";
import {
  createDraft,
  createService,
  putWorkspace,
} from "../../test/support/drafts.ts";
import { checkDraft } from "./patch_check.ts";

function getErrors(value: unknown): readonly string[] {
  return checkDraft(value)
    .swap().map((reports) => reports.map(formatReport)).orDefault([]);
}

describe("checkDraft", () => {
  it("accepts a patch and orders its fields", () => {
    const { id, operator, baseVersion, operations } = createDraft();
    const shuffled = { operations, baseVersion, operator, id };
    const checked = checkDraft(shuffled).unsafeCoerce();
    expect(JSON.stringify(checked)).toBe(JSON.stringify(createDraft()));
  });

  it("accepts an optional cold multiple and preserves it", () => {
    const parse = (fields: { readonly coldMultiple?: number }) =>
      checkDraft({
        ...createDraft(),
        operations: [{
          kind: "put_service",
          name: "chat",
          value: createService(fields),
        }],
      });
    const value = { coldMultiple: 1.05 };
    expect(parse(value).unsafeCoerce().operations[0])
      .toMatchObject({ value });
    expect(JSON.stringify(parse({}).unsafeCoerce())).not.toContain("cold");
    expect(parse({ coldMultiple: 0.5 }).isLeft()).toBe(true);
  });

  it("reports all invalid fields at once", () => {
    const reportTexts = getErrors({
      id: "",
      operator: "mina",
      baseVersion: -1,
      extra: 1,
      operations: [
        {
          kind: "put_service",
          name: "chat",
          value: createService({ slots: 0 }),
        },
        { kind: "put_workspace", name: "a b", value: { weight: 0 } },
        { kind: "rename", name: "chat" },
        { kind: "delete_service", name: "chat", value: {} },
      ],
    });
    expect(reportTexts).toEqual([
      "Patch field id must be a name of 1 to 64 letters, digits, dots, dashes " +
      "and underscores",
      "Patch field baseVersion must be a whole number from 0 to " +
      "9007199254740991",
      "Patch field extra must be left out",
      "Patch field operations[0].value.slots must be a whole number from 1 to " +
      "1000000",
      "Patch field operations[1].name must be a name of 1 to 64 letters, " +
      "digits, dots, dashes and underscores",
      "Patch field operations[1].value.weight must be a number above 0 and up " +
      "to 1000000",
      "Patch field operations[1].value.requestsPerSecond must be a number from " +
      "0 to 1000000",
      "Patch field operations[1].value.services must be a list of service " +
      "names",
      "Patch field operations[2].kind must be one of put_service, " +
      "delete_service, put_workspace, delete_workspace",
      "Patch field operations[3].value must be left out",
    ]);
  });

  it("refuses a non-object and a patch that is too long", () => {
    expect(getErrors([])).toEqual(["Patch field patch must be an object"]);
    const services = Array.from({ length: 9_000 }, () => "s".repeat(60));
    const operation = putWorkspace("studio-1");
    const long = { ...operation, value: { ...valueOf(operation), services } };
    expect(getErrors(createDraft({ operations: [long] as never }))).toEqual([
      "Patch field operations must be under 500000 characters in all",
    ]);
  });
});

function valueOf(operation: ReturnType<typeof putWorkspace>): object {
  return "value" in operation ? operation.value : {};
}
