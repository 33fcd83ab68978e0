package loader

import "time"

// Settings is the content of the settings file of a node.
type Settings struct {
	Instance         string        `yaml:"Instance" validate:"required"`
	AvailabilityZone string        `yaml:"AvailabilityZone" validate:"required"`
	Region           string        `yaml:"Region" validate:"required"`
	Service          string        `yaml:"Service" validate:"required"`
	BackendServer    BackendServer `yaml:"BackendServer"`
	Listeners        Listeners     `yaml:"Listeners"`
	Store            Store         `yaml:"Store"`
	Limits           Limits        `yaml:"Limits"`
	Retries          Retries       `yaml:"Retries"`
	Membership       Membership    `yaml:"Membership"`
	Policy           Policy        `yaml:"Policy"`
	Trace            Trace         `yaml:"Trace"`
	LogLevel         string        `yaml:"LogLevel" validate:"oneof=debug info warn error"`
}

// BackendServer holds the settings of the local backend server and of the records of its attempts.
type BackendServer struct {
	URL             string `yaml:"URL" validate:"required,url"`
	Connections     int    `yaml:"Connections" validate:"min=1,max=10000"`
	ColdStartMs     int    `yaml:"ColdStartMs" validate:"min=0,max=600000"`
	CancelGraceMs   int    `yaml:"CancelGraceMs" validate:"min=0,max=60000"`
	AnswerRetainMs  int    `yaml:"AnswerRetainMs" validate:"min=1000,max=3600000"`
	AnswerMaxBytes  int    `yaml:"AnswerMaxBytes" validate:"min=1024"`
	TrackedAttempts int    `yaml:"TrackedAttempts" validate:"min=100,max=1000000"`
}

// Listeners are the four listeners of a node.
type Listeners struct {
	Caller   Listener         `yaml:"Caller"`
	Peer     PeerListener     `yaml:"Peer"`
	Egress   Listener         `yaml:"Egress"`
	Operator OperatorListener `yaml:"Operator"`
}

// Listener is an address and its transport security.
type Listener struct {
	Address   string `yaml:"Address" validate:"required,hostname_port"`
	Plaintext bool   `yaml:"Plaintext"`
	TLS       TLS    `yaml:"TLS"`
}

// PeerListener is the listener for other nodes; Advertise is the address at which they reach it, if it differs from
// Address.
type PeerListener struct {
	Listener  `yaml:",inline"`
	Advertise string `yaml:"Advertise" validate:"omitempty,hostname_port"`
}

// AdvertisedAddress returns the address at which other nodes reach the listener.
func (l PeerListener) AdvertisedAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Address
}

// TLS holds the certificate files of a listener; CAFile holds the CA certificates that other nodes are verified
// against.
type TLS struct {
	CertificateFile string `yaml:"CertificateFile"`
	KeyFile         string `yaml:"KeyFile"`
	CAFile          string `yaml:"CAFile"`
}

// Enabled reports whether a certificate is set.
func (t TLS) Enabled() bool {
	return t.CertificateFile != ""
}

// OperatorListener is the listener for operators, with the SHA-256 hash of the required token in hexadecimal.
type OperatorListener struct {
	Listener  `yaml:",inline"`
	TokenHash string `yaml:"TokenHash" validate:"required,len=64,hexadecimal"`
}

// Store holds the URL of the platform's object store, and its timeout, watch and refresh times.
type Store struct {
	URL       string `yaml:"URL" validate:"required,url"`
	TimeoutMs int    `yaml:"TimeoutMs" validate:"min=10,max=60000"`
	WatchMs   int    `yaml:"WatchMs" validate:"min=100,max=600000"`
	RefreshMs int    `yaml:"RefreshMs" validate:"min=1000,max=3600000"`
}

// Limits holds the limits of bodies, queued requests, concurrent requests and idempotency key records.
type Limits struct {
	BodyMaxBytes int `yaml:"BodyMaxBytes" validate:"min=1024,max=67108864"`
	QueueMax     int `yaml:"QueueMax" validate:"min=1,max=100000"`
	QueueMaxMs   int `yaml:"QueueMaxMs" validate:"min=1,max=60000"`
	SlotsInitial int `yaml:"SlotsInitial" validate:"min=1,max=10000"`
	SlotsMax     int `yaml:"SlotsMax" validate:"min=1,max=10000"`
	KeyRetainMs  int `yaml:"KeyRetainMs" validate:"min=1000,max=3600000"`
}

// Retries limits the retries of a call tree, by Tokens, and to a destination, by Ratio and Reserve.
type Retries struct {
	Tokens  int     `yaml:"Tokens" validate:"min=0,max=32"`
	Ratio   float64 `yaml:"Ratio" validate:"min=0,max=1"`
	Reserve float64 `yaml:"Reserve" validate:"min=0,max=100"`
}

// Membership holds the period and the timeouts of heartbeats between nodes.
type Membership struct {
	HeartbeatMs int `yaml:"HeartbeatMs" validate:"min=50,max=60000"`
	TimeoutMs   int `yaml:"TimeoutMs" validate:"min=10,max=60000"`
	SuspectMs   int `yaml:"SuspectMs" validate:"min=100,max=600000"`
	SilenceMs   int `yaml:"SilenceMs" validate:"min=50,max=60000"`
}

// Policy selects the algorithms of overload control.
type Policy struct {
	Limit     string `yaml:"Limit" validate:"oneof=Off Static Gradient Probe"`
	Admission bool   `yaml:"Admission"`
	Rates     string `yaml:"Rates" validate:"oneof=Off Split Shares"`
	Retries   string `yaml:"Retries" validate:"oneof=PerHop Tokens"`
	Routing   string `yaml:"Routing" validate:"oneof=RoundRobin Observed"`
}

// Trace sets the file to which decisions and their inputs are recorded as JSON lines, and its maximum size.
type Trace struct {
	File     string `yaml:"File"`
	MaxBytes int    `yaml:"MaxBytes" validate:"min=0,max=1073741824"`
}

// Millis returns the duration of ms milliseconds.
func Millis(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// Defaults returns the default settings; required settings are empty.
func Defaults() Settings {
	return Settings{
		BackendServer: BackendServer{
			Connections:     400,
			CancelGraceMs:   2000,
			AnswerRetainMs:  30000,
			AnswerMaxBytes:  16 << 20,
			TrackedAttempts: 20000,
		},
		Store: Store{
			TimeoutMs: 1000,
			WatchMs:   2000,
			RefreshMs: 600000,
		},
		Limits: Limits{
			BodyMaxBytes: 8 << 20,
			QueueMax:     1000,
			QueueMaxMs:   500,
			SlotsInitial: 20,
			SlotsMax:     1000,
			KeyRetainMs:  120000,
		},
		Retries: Retries{
			Tokens:  6,
			Ratio:   0.1,
			Reserve: 10,
		},
		Membership: Membership{
			HeartbeatMs: 1000,
			TimeoutMs:   500,
			SuspectMs:   3000,
			SilenceMs:   1000,
		},
		Policy: Policy{
			Limit:     "Probe",
			Admission: true,
			Rates:     "Shares",
			Retries:   "Tokens",
			Routing:   "Observed",
		},
		Trace: Trace{
			MaxBytes: 64 << 20,
		},
		LogLevel: "info",
	}
}
