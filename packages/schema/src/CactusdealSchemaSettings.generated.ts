/* Generated from schemas/settings.json by `npm run generate`; not edited by hand. */

export type Address = string;

/**
 * Settings of one daemon, read from a TOML file.
 */
export interface DaemonSettings {
  /**
   * Name that all daemons of one deployment share.
   */
  cluster: string;
  /**
   * Data centre of this host.
   */
  dataCentre: string;
  /**
   * Name of this daemon; the mesh address when absent.
   */
  id?: string;
  /**
   * Least severe event that is logged.
   */
  logLevel?: 'debug' | 'info' | 'warn' | 'error';
  /**
   * Addresses that this daemon listens on, each an IP number and a port.
   */
  listen: {
    /**
     * For the other daemons.
     */
    mesh: string;
    /**
     * For callers and for other daemons' calls.
     */
    calls: string;
    /**
     * For operators, metrics, health and the upstream on this host.
     */
    admin: string;
  };
  /**
   * Addresses under which daemons of other data centres reach this one, where they differ from the listen addresses.
   */
  advertise?: {
    /**
     * For their links.
     */
    mesh?: string;
    /**
     * For their calls.
     */
    calls?: string;
  };
  /**
   * The platform's key-value service.
   */
  platform: {
    /**
     * Base URL of the service.
     */
    url: string;
    /**
     * Longest wait for one answer, in milliseconds.
     */
    timeoutMs?: number;
    /**
     * Most calls a second that this daemon makes.
     */
    callsPerSecond?: number;
  };
  /**
   * How this daemon meets the others.
   */
  mesh?: {
    /**
     * Mesh addresses of daemons in this data centre, tried at start.
     */
    contacts?: Address[];
    /**
     * Mesh addresses of daemons in other data centres, by data centre.
     */
    remoteContacts?: {
      [k: string]: Address[];
    };
    /**
     * Time between heartbeats to a peer, in milliseconds.
     */
    heartbeatMs?: number;
    /**
     * Time between digest exchanges with one random peer, in milliseconds.
     */
    digestMs?: number;
    /**
     * Peers that this daemon keeps connections to.
     */
    activeDegree?: number;
  };
  /**
   * Readers of the platform for a data centre.
   */
  readers?: {
    /**
     * Daemons that read the platform for the data centre.
     */
    perDataCentre?: number;
    /**
     * Length of a reader's lease, in milliseconds.
     */
    leaseMs?: number;
  };
  /**
   * How calls are treated.
   */
  calls?: {
    /**
     * Most connections to the worker on this host.
     */
    connectionsPerWorker?: number;
    /**
     * Longest wait for a caller's request header, in milliseconds.
     */
    headerTimeoutMs?: number;
    /**
     * Longest time without progress on a body, in milliseconds.
     */
    idleTimeoutMs?: number;
    /**
     * Retries for each call wanted, as a ratio.
     */
    retryBudget?: number;
    /**
     * Longest wait for calls in flight at a graceful stop, in milliseconds.
     */
    drainMs?: number;
  };
  /**
   * The upstream that announces itself on this host.
   */
  workers?: {
    /**
     * Time after which an upstream that has not renewed is gone, in milliseconds.
     */
    leaseMs?: number;
  };
}

/** The schema itself, for validation at run time. */
export const settingsSchema = {
  "$id": "settings",
  "title": "DaemonSettings",
  "description": "Settings of one daemon, read from a TOML file.",
  "type": "object",
  "additionalProperties": false,
  "required": [
    "cluster",
    "dataCentre",
    "listen",
    "platform"
  ],
  "properties": {
    "cluster": {
      "description": "Name that all daemons of one deployment share.",
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"
    },
    "dataCentre": {
      "description": "Data centre of this host.",
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"
    },
    "id": {
      "description": "Name of this daemon; the mesh address when absent.",
      "type": "string",
      "pattern": "^[A-Za-z0-9][A-Za-z0-9.:-]{0,62}$"
    },
    "logLevel": {
      "description": "Least severe event that is logged.",
      "enum": [
        "debug",
        "info",
        "warn",
        "error"
      ],
      "default": "info"
    },
    "listen": {
      "description": "Addresses that this daemon listens on, each an IP number and a port.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "mesh",
        "calls",
        "admin"
      ],
      "properties": {
        "mesh": {
          "description": "For the other daemons.",
          "$ref": "#/definitions/Address"
        },
        "calls": {
          "description": "For callers and for other daemons' calls.",
          "$ref": "#/definitions/Address"
        },
        "admin": {
          "description": "For operators, metrics, health and the upstream on this host.",
          "$ref": "#/definitions/Address"
        }
      }
    },
    "advertise": {
      "description": "Addresses under which daemons of other data centres reach this one, where they differ from the listen addresses.",
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "properties": {
        "mesh": {
          "description": "For their links.",
          "$ref": "#/definitions/Address"
        },
        "calls": {
          "description": "For their calls.",
          "$ref": "#/definitions/Address"
        }
      }
    },
    "platform": {
      "description": "The platform's key-value service.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "url"
      ],
      "properties": {
        "url": {
          "description": "Base URL of the service.",
          "type": "string",
          "pattern": "^http://[^\\s]+$"
        },
        "timeoutMs": {
          "description": "Longest wait for one answer, in milliseconds.",
          "type": "integer",
          "minimum": 10,
          "maximum": 60000,
          "default": 2000
        },
        "callsPerSecond": {
          "description": "Most calls a second that this daemon makes.",
          "type": "number",
          "minimum": 1,
          "maximum": 1000,
          "default": 50
        }
      }
    },
    "mesh": {
      "description": "How this daemon meets the others.",
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "properties": {
        "contacts": {
          "description": "Mesh addresses of daemons in this data centre, tried at start.",
          "type": "array",
          "items": {
            "$ref": "#/definitions/Address"
          },
          "default": []
        },
        "remoteContacts": {
          "description": "Mesh addresses of daemons in other data centres, by data centre.",
          "type": "object",
          "additionalProperties": {
            "type": "array",
            "items": {
              "$ref": "#/definitions/Address"
            }
          },
          "default": {}
        },
        "heartbeatMs": {
          "description": "Time between heartbeats to a peer, in milliseconds.",
          "type": "integer",
          "minimum": 20,
          "maximum": 60000,
          "default": 1000
        },
        "digestMs": {
          "description": "Time between digest exchanges with one random peer, in milliseconds.",
          "type": "integer",
          "minimum": 20,
          "maximum": 600000,
          "default": 2000
        },
        "activeDegree": {
          "description": "Peers that this daemon keeps connections to.",
          "type": "integer",
          "minimum": 2,
          "maximum": 16,
          "default": 4
        }
      }
    },
    "readers": {
      "description": "Readers of the platform for a data centre.",
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "properties": {
        "perDataCentre": {
          "description": "Daemons that read the platform for the data centre.",
          "type": "integer",
          "minimum": 1,
          "maximum": 4,
          "default": 2
        },
        "leaseMs": {
          "description": "Length of a reader's lease, in milliseconds.",
          "type": "integer",
          "minimum": 200,
          "maximum": 600000,
          "default": 3000
        }
      }
    },
    "calls": {
      "description": "How calls are treated.",
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "properties": {
        "connectionsPerWorker": {
          "description": "Most connections to the worker on this host.",
          "type": "integer",
          "minimum": 1,
          "maximum": 1000,
          "default": 110
        },
        "headerTimeoutMs": {
          "description": "Longest wait for a caller's request header, in milliseconds.",
          "type": "integer",
          "minimum": 10,
          "maximum": 600000,
          "default": 10000
        },
        "idleTimeoutMs": {
          "description": "Longest time without progress on a body, in milliseconds.",
          "type": "integer",
          "minimum": 10,
          "maximum": 600000,
          "default": 15000
        },
        "retryBudget": {
          "description": "Retries for each call wanted, as a ratio.",
          "type": "number",
          "minimum": 0,
          "maximum": 1,
          "default": 0.1
        },
        "drainMs": {
          "description": "Longest wait for calls in flight at a graceful stop, in milliseconds.",
          "type": "integer",
          "minimum": 0,
          "maximum": 3600000,
          "default": 600000
        }
      }
    },
    "workers": {
      "description": "The upstream that announces itself on this host.",
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "properties": {
        "leaseMs": {
          "description": "Time after which an upstream that has not renewed is gone, in milliseconds.",
          "type": "integer",
          "minimum": 100,
          "maximum": 600000,
          "default": 6000
        }
      }
    }
  },
  "definitions": {
    "Address": {
      "type": "string",
      "pattern": "^(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}$"
    }
  }
} as const;
