//! Why a plan could not be made.

/// A reason for which there is no plan; its message is one line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The recording holds no request, or none is left after filtering.
    #[error("the recording holds no request")]
    EmptyRecording,
    /// The recording does not say how fast one transfer to a client runs.
    #[error(
        "the recording says nothing of the rate of a transfer, which sizes of links are measured by"
    )]
    MissingFlowRate,
    /// The recorded routers were configured with different rates of a transfer.
    #[error("routers were told different rates of a flow")]
    ConflictingFlowRates,
    /// A recorded request belongs to a class that the recording does not describe.
    #[error("a request of class {class} of {class_count}")]
    UnknownClass {
        /// The class that the request names.
        class: u8,
        /// How many classes the recording describes.
        class_count: usize,
    },
    /// The recording has a site that the fleet file does not have.
    #[error("the recording has an office {site}, the fleet has not")]
    UnknownSite {
        /// The site's name.
        site: String,
    },
    /// Neither the fleet file nor the recorded endpoint list gives a link's capacity.
    #[error("offices: {site}: link_flows is not given and not listed")]
    UnknownLinkCapacity {
        /// The site whose edge caches are meant.
        site: String,
    },
    /// The goal is no share between 0 and 1.
    #[error("a goal lies above 0% and below 100%")]
    InvalidGoal,
    /// The scale lies outside of what the model supports.
    #[error("a scale lies between 0.05 and 20")]
    InvalidScale,
    /// The warm-up lasts longer than the recording.
    #[error("the warm-up must end within the {recorded_s:.0} s recorded")]
    InvalidWarmUp {
        /// How long the recording lasts, in seconds.
        recorded_s: f64,
    },
    /// An endpoint that is to be lost does not exist.
    #[error("{name} is no hub and no box (OFFICE-N) of this fleet")]
    UnknownEndpoint {
        /// The name that was given.
        name: String,
    },
}

/// The plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("drawing the plot: {source}")]
pub struct PlotError {
    /// What the drawing library reports.
    #[from]
    pub source: plotters::drawing::DrawingAreaErrorKind<std::io::Error>,
}
