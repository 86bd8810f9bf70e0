/** Reading JSON that may be damaged or foreign. */

/** The value of a JSON text; undefined when it cannot be read. */
export const safeParseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};
