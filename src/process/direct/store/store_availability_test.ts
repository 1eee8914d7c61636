import { createStoreAvailability } from "./store_availability.ts";

describe("the availability of the store", () => {
  beforeEach(() => void jest.useFakeTimers({ now: 0 }));
  afterEach(() => void jest.useRealTimers());

  /** Creates the record of a fleet that read the store until 5 s. */
  function createRead() {
    const availability = createStoreAvailability();
    availability.recordContact({ since: 10, until: 5_000 }, "a");
    return availability;
  }

  describe("has an outage", () => {
    it("after two seconds in which a router waited in vain", () => {
      const availability = createRead();
      availability.recordSilence({ since: 6_000, until: 6_300 });
      expect(availability.recordContact({ since: 7_000, until: 7_000 }, "a"))
        .toBe(true);
      expect(availability.getOutageEndedAt()).toBe(7_000);
    });

    it("when routers that are lost and their successors waited", () => {
      const availability = createRead();
      availability.recordSilence({ since: 5_300, until: 5_430 });
      availability.recordSilence({ since: 6_900, until: 7_030 });
      availability.recordContact({ since: 7_100, until: 7_100 }, "b");
      expect(availability.getOutageEndedAt()).toBe(7_100);
    });

    it("that ended when the first router reached the store", () => {
      const availability = createRead();
      availability.recordSilence({ since: 6_000, until: 8_000 });
      availability.recordContact({ since: 9_000, until: 9_000 }, "a");
      availability.recordContact({ since: 8_500, until: 9_100 }, "b");
      expect(availability.getOutageEndedAt()).toBe(8_500);
    });

    it("whatever a report says that was made before it", () => {
      const availability = createRead();
      availability.recordSilence({ since: 6_000, until: 8_000 });
      availability.recordContact({ since: 9_000, until: 9_000 }, "a");
      expect(availability.recordContact({ since: 10, until: 4_000 }, "b"))
        .toBe(false);
      expect(availability.getOutageEndedAt()).toBe(9_000);
    });

    it("when a router that starts waits for its first response", () => {
      const availability = createStoreAvailability();
      availability.recordSilence({ since: 250, until: 1_250 });
      availability.recordContact({ since: 1_300, until: 1_300 }, "a");
      expect(availability.getOutageEndedAt()).toBe(1_300);
    });
  });

  describe("has none", () => {
    it("in a shorter time", () => {
      const availability = createRead();
      availability.recordSilence({ since: 5_400, until: 6_900 });
      availability.recordContact({ since: 6_900, until: 6_900 }, "a");
      expect(availability.getOutageEndedAt()).toBe(Number.NEGATIVE_INFINITY);
    });

    it("while nobody asks the store, however long", () => {
      const availability = createRead();
      availability.recordContact({ since: 60_000, until: 60_000 }, "b");
      expect(availability.getOutageEndedAt()).toBe(Number.NEGATIVE_INFINITY);
    });

    it("when one call was late", () => {
      const availability = createRead();
      availability.recordSilence({ since: 7_000, until: 7_240 });
      availability.recordSilence({ since: 7_000, until: 7_240 });
      availability.recordContact({ since: 7_300, until: 7_300 }, "a");
      expect(availability.getOutageEndedAt()).toBe(Number.NEGATIVE_INFINITY);
    });

    it("before a busy process makes its first call", () => {
      const availability = createStoreAvailability();
      availability.recordContact({ since: 3_000, until: 3_000 }, "a");
      expect(availability.getOutageEndedAt()).toBe(Number.NEGATIVE_INFINITY);
    });

    it("because of what a peer waited for before this router started", () => {
      jest.advanceTimersByTime(60_000);
      const availability = createStoreAvailability();
      availability.recordSilence({ since: 10, until: 60_100 });
      availability.recordContact({ since: 60_200, until: 60_200 }, "a");
      expect(availability.getOutageEndedAt()).toBe(Number.NEGATIVE_INFINITY);
    });

    it("while another router reads the store", () => {
      const availability = createStoreAvailability();
      availability.recordContact({ since: 10, until: 1_000 }, "a");
      availability.recordContact({ since: 20, until: 8_900 }, "b");
      availability.recordSilence({ since: 1_500, until: 8_990 });
      expect(availability.recordContact({ since: 9_000, until: 9_000 }, "a"))
        .toBe(false);
      expect(availability.getOutageEndedAt()).toBe(Number.NEGATIVE_INFINITY);
    });

    it("once a router tells that it read the store all the time", () => {
      const availability = createStoreAvailability();
      availability.recordContact({ since: 10, until: 1_000 }, "a");
      availability.recordSilence({ since: 2_000, until: 8_000 });
      availability.recordContact({ since: 9_000, until: 9_000 }, "a");
      expect(availability.recordContact({ since: 20, until: 9_100 }, "b"))
        .toBe(true);
      expect(availability.getOutageEndedAt()).toBeLessThan(1_000);
    });
  });

  it("tells who read the store, and until when", () => {
    jest.setSystemTime(0);
    const availability = createRead();
    availability.recordContact({ since: 20, until: 4_000 }, "b");
    expect(availability.describe()).toMatchObject({
      storeReadBy: "a",
      storeSilentMs: 0,
      outageEndedAgeMs: undefined,
    });
  });
});
